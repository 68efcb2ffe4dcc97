; 80 relays without shared state and 60 servers: undisturbed, after 12 servers restart, while 12
; servers drain, and after 56 relays restart at once. To evaluate a change of the balancer, run it
; with builds from before and after the change, and compare by seed: simulate compare.
(experiment "fleet"
  (world (servers 60) (relays 80) (rate 10) (standing 370) (groups 55) (for 40s))
  (policies module)
  (matrix (group-skew 0.5 1))
  (scene steady)
  (scene cold   (at 8s (restart 12 3s)))
  (scene drains (at 8s (drain 12)) (at 8s (add 12)))
  (scene herd   (at 10s (relay-restart 56 1s)))
  (seeds 60)
  (claim late module <= 0))
