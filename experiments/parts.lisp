; The balancer under several failures, for measuring the effect of a single constant:
; experiments/without.sh experiments/parts.lisp CONSTANT=VALUE...
(experiment "parts"
  (world (for 60s))
  (policies module)
  (scene calm)
  (scene hang     (at 15s (hang 2 15s)))
  (scene slow     (at 15s (slow 3 0.3 20s)))
  (scene restart  (at 15s (restart 2 4s)))
  (scene crowd    (at 20s (drop 50)))
  (scene rough    (at 12s (hang 2 12s)) (at 14s (list-behind 6s 20s)) (at 18s (drop 40)) (at 20s (restart 1 4s)))
  (seeds 400)
  (claim late module <= 0))
