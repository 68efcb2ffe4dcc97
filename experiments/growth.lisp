; Service and run time as servers, groups and traffic grow by the same factor, with 4 relays.
(experiment "growth"
  (world (for 40s))
  (policies module two-choices oracle)
  (scene calm)
  (scene restart (at 10s (restart 1 4s)))
  (matrix (scale 1 4 16 64 154))
  (seeds 3)
  (claim late module <= 0))
