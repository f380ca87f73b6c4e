(scenario "jobs are cancelled although their job pages are larger than the lowered limit on values, which nobody announced"
  (seeds 305 306) (until 130) (state-limits 900 300) (capacity 0)
  (at 5 (stream 700 20 tasks 1 cores 1 run 5))
  (at 40 (lower-state-limits 1 8))
  (at 45 (cancel-range 0 350 40))
  (expect (cancelled 350) (counted-at-least "transactions over lowered limits" 2) (counted-at-most "transactions over lowered limits" 9))
  (guard "packages/jobs/src/page-layout.ts" "if (fitsValue(key, page, valueKb)) return [{ key, page }]" "if (valueKb > 0) return [{ key, page }]"))
