; Eighty relays that share nothing before 60 servers: a scene for each cause that was mended
; (docs/design/fleet.md). Built on the module before a mend and after it, the two are
; compared by the same seeds: simulate compare.
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
