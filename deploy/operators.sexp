; Operators' settings. Settings not listed here keep their defaults; see README.md.
(provisioning
  (window-s 30)
  (deployment-s 40))
