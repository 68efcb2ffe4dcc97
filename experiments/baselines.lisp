; The balancer against textbook policies on the reference deployment, undisturbed and under
; failures, drains and overload. The oracle knows the true state of all servers.
(experiment "baselines"
  (world (for 60s))
  (policies module random round-robin least-connections two-choices bounded-hash oracle)
  (scene calm)
  (scene hang      (at 15s (hang 2 15s)))
  (scene restart   (at 15s (restart 2 4s)))
  (scene drain     (at 15s (drain 2)))
  (scene crowd     (at 20s (drop 50)))
  (scene behind    (at 10s (list-behind 6s 20s)) (at 15s (restart 2 4s)))
  (scene overload  (at 15s (surge 3 20s)))
  (scene relays    (at 15s (relay-restart 2 3s)))
  (seeds 20)
  (claim g module >= (random) calm)
  (claim g module >= (random) hang)
  (claim late module <= 0)
  (claim tipped module <= 0))
