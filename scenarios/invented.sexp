(scenario "invented: nobody's job is answered 404"
  (seed 13) (until 60)
  (at 1 (submit pieces 3 cores 4 run 10))
  (at 5 (ask-about-nobody)) (at 20 (crash-all 2)) (at 30 (ask-about-nobody)) (at 31 (ask-about-nobody))
  (expect (done 0))
  (guard "packages/api/src/job-requests.ts"
    "if (found.kind === \"none\") return notFound(\"no such job\")"
    "if (found.kind === \"none\") return { status: 200, body: { id, status: \"queued\" } }"))
