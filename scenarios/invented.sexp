(scenario "a poll of an unknown job is answered 404, also right after all controllers crash"
  (seed 13) (until 60)
  (at 1 (submit tasks 3 cores 4 run 10))
  (at 5 (poll-unknown-job)) (at 20 (crash-all 2)) (at 30 (poll-unknown-job)) (at 31 (poll-unknown-job))
  (expect (done 0))
  (guard "packages/api/src/job-requests.ts"
    "if (found.kind === \"none\") return notFound(\"no such job\")"
    "if (found.kind === \"none\") return { status: 200, body: { id, status: \"queued\" } }"))
