; The largest farm: 2,000 servers, 64 relays, 200,000 initial connections, and 5,400 new clients
; per second. A single run, which takes some minutes on one core.
(experiment "large"
  (world (servers 2000) (relays 64) (standing 200000) (rate 5400) (per-core 160) (groups 20000) (for 10s) (set-up 2ms) (queue 400))
  (seeds 1)
  (claim service module >= 0.5)
  (claim late module <= 0))
