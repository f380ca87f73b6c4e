; Operators' own settings. What isn't named keeps its default; see README.md.
(provisioning
  (window-s 30)
  (deployment-s 40))
