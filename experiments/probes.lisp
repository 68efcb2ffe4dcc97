; Relays that find failed servers by health checks (probed 1) against relays that receive an
; endpoint list with delay (probed 0); operators have reported delays of 2.7 to 9 s. The metric
; found-in is the mean time until a relay is notified of a server that is down or hung;
; false-alarms counts such notifications for ready servers.
(experiment "probes"
  (world (for 50s))
  (policies module)
  (scene steady)
  (scene dies  (at 15s (restart 2 20s)))
  (scene hangs (at 15s (hang 2 15s)))
  (scene drops (at 15s (drop 0.5)))
  (matrix (probed 0 1) (probe-loss 0 0.1) (list-delay 2700ms 9s))
  (seeds 40))
