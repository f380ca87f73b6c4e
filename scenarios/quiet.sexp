(scenario "a quiet day: jobs with and without deadlines run, and the machines go back"
  (seed 1) (until 400)
  (at 1 (submit pieces 6 cores 4 run 20 due 120)
        (submit pieces 3 cores 8 run 30)
        (submit pieces 5 cores 2 run 10 owner blue due 60 urgency high))
  (at 20 (submit pieces 40 cores 1 run 5))
  (at 60 (ask-about-nobody))
  (at 300 (resubmit 0))
  (expect (done 4) (no-machine)))
