; How much a delay of the endpoint list costs when servers restart or drain. Operators have
; reported delays of 2.7 to 9 s.
(experiment "list delay"
  (world (for 60s))
  (policies module random)
  (scene restart (at 15s (restart 3 5s)))
  (scene drain (at 15s (drain 3)))
  (matrix (list-delay 500ms 3s 9s))
  (seeds 20))
