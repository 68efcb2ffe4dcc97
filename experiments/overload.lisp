; From well below the farm's capacity to about twice its capacity. At scale-load 1, 2.2 new
; clients per second, or 81 connected clients, cause a utilization of 0.45, with the cost of groups.
(experiment "overload"
  (world (for 50s))
  (policies module random least-connections bounded-hash oracle)
  (scene steady)
  (matrix (scale-load 0.5 1 1.5 2 3 4))
  (seeds 20)
  (claim service module >= (random)))
