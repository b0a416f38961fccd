package main

// settingsText are the settings of a small deployment: two sites, two proxies, four classes, three co-operatives.
const settingsText = `{
 "Family": "proxy", "Balancers": 2, "Rank": 0, "Zone": 0, "Layer": 0, "Tick": 2.0,
 "FailureDomains": ["nyarugenge", "kacyiru"], "Kinds": ["std-1", "slow-1"], "Layers": ["dispatch-fleet"],
 "Discovery": "pushed", "Weights": "nominal", "WorthBy": "request", "OverShareWorth": 0.1,
 "Clients": {"MarksRetry": true}, "Feedback": {"How": "off", "Names": []}, "Extra": {"WarmKeys": false},
 "Caps": {"Cancel": true, "Peers": false, "Probes": true, "RetryAfter": true, "SecondCopies": true,
  "ConnIdle": 60000.0, "ConnectTimeout": 75.0, "CpuUsPerS": 8000, "CpuUsPerRequest": 0.0, "MaxAttempts": 3,
  "MaxOpen": 20000, "MaxRetryAfter": 1000.0, "StreamsPerConn": 1},
 "Goal": {"Whole": 0.55, "WorstWindow": 0.15, "WorstClass": 0.2, "WorstTenant": 0.1},
 "Obligations": {"AnswerSlack": 8.0, "AskEvery": 10000.0, "DrainGrace": 500.0, "Fall": 1000.0,
  "FallMultiple": 3.0, "StartCapacity": 0.34, "Cold": 8700.0},
 "Prices": {"Connection": 0.0, "CrossZone": 0.03, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.05,
  "Moves": 0.0, "Origin": 0.0, "Peer": 0.0, "Probe": 0.0091, "Waste": 0.02},
 "Services": [
  {"Name": "driver-position", "Effect": "retryable", "Aim": 250.0, "GiveUp": 1000.0, "Value": 2.0,
   "LateShare": 0.2, "Group": "all", "Window": 5000.0, "Stream": false},
  {"Name": "ride-accept", "Effect": "fragile", "Aim": 150.0, "GiveUp": 750.0, "Value": 3.0,
   "LateShare": 0.5, "Group": "all", "Window": 5000.0, "Stream": false},
  {"Name": "trip-close", "Effect": "fragile", "Aim": 500.0, "GiveUp": 1000.0, "Value": 10.0,
   "LateShare": 0.3, "Group": "all", "Window": 5000.0, "Stream": false},
  {"Name": "driver-payout", "Effect": "fragile", "Aim": 500.0, "GiveUp": 2000.0, "Value": 10.0,
   "LateShare": 0.25, "Group": "all", "Window": 5000.0, "Stream": false}],
 "Tenants": [
  {"Name": "umurava-taxi", "QuotaPerS": 141.0, "Share": 0.68},
  {"Name": "inzira-moto", "QuotaPerS": 40.0, "Share": 0.19},
  {"Name": "kivu-cabs", "QuotaPerS": 27.0, "Share": 0.13}]
}`
