; Run time and number of events of large farms: the reference deployment scaled by 1 to 154, with
; 64 relays.
(experiment "size"
  (world (relays 64) (for 20s))
  (matrix (scale 1 4 16 64 154))
  (seeds 2)
  (claim late module <= 0))
