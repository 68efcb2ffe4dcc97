; The effect of the number of relays, which share no state, on the servers: after a restart of one
; server, after 53% of the clients drop their connections, and with the endpoint list 9 s behind.
(experiment "relays"
  (world (for 50s))
  (policies module random oracle)
  (scene restart (at 15s (restart 1 4s)))
  (scene crowd   (at 15s (drop 53)))
  (scene behind  (at 12s (list-behind 9s 25s)) (at 15s (restart 1 4s)))
  (matrix (relays 1 4 16 64))
  (seeds 20)
  (claim late module <= 0))
