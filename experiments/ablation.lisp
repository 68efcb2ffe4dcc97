; What each part of the balancer contributes to the difference between random choice and the
; oracle: the balancer without its preference for servers in the relay's zone, without reports
; of servers' delays, and without cached routes of groups.
(experiment "ablation"
  (world (for 60s))
  (policies random module-no-routes module-no-notes module-no-zones module oracle)
  (scene calm)
  (scene hang     (at 15s (hang 2 15s)))
  (scene slow     (at 15s (slow 3 0.3 20s)))
  (scene restart  (at 15s (restart 2 4s)))
  (scene crowd    (at 20s (drop 50)))
  (scene rough    (at 12s (hang 2 12s)) (at 14s (list-behind 6s 20s)) (at 18s (drop 40)) (at 20s (restart 1 4s)))
  (seeds 40)
  (claim g module >= (module-no-routes))
  (claim g module >= (random)))
