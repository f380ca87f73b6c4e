(scenario "guests: a team without guarantee and limit is served beside the others, and gives way to them"
  (seed 91) (until 400)
  (at 1 (submit pieces 6 cores 4 run 30 due 150) (submit pieces 400 cores 0.25 run 4 mem 0.5 urgency best_effort owner guest lane archive)
        (submit pieces 30 cores 4 run 60 snapshot 20 flush 3 urgency best_effort owner guest lane scan))
  (at 5 (stream 40 20 pieces 1 cores 0.5 mem 0.5 run 3 urgency best_effort owner guest lane pings))
  (at 60 (submit pieces 12 cores 4 run 20 urgency high due 90) (submit pieces 8 cores 4 run 20 owner blue))
  (expect (all-over) (served) (begun-within 150))
  (guard "packages/settings/src/codec.ts" "configured == null || configured === 0 ? NO_LIMIT : configured" "configured ?? 0"))
