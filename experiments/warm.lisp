; What restarted relays gain from restoring the snapshot of their previous run. Run it as it is
; and with (warm 1), and compare by seed: simulate compare.
(experiment "warm"
  (world (for 50s) (warm 0))
  (policies module)
  (scene one       (at 15s (relay-restart 1 3s)))
  (scene in-turn   (at 10s (relay-restart 1 3s)) (at 15s (relay-restart 2 3s)) (at 20s (relay-restart 3 3s)) (at 25s (relay-restart 4 3s)))
  (scene all       (at 15s (relay-restart 4 1s)))
  (scene one-hangs (at 12s (hang 2 12s)) (at 15s (relay-restart 4 1s)))
  (scene one-dies  (at 14500ms (restart 1 20s)) (at 15s (relay-restart 4 1s)))
  (seeds 400))
