package policy

// SampleText returns a complete sample document in YAML. The token of each caller NAME is
// "dev-NAME", so the document must be used for development only.
func SampleText() string { return sampleText }

const sampleText = `# What every caller may ask, unless an exception says otherwise.
defaults:
  requests-per-second: 2000
  burst: 400
  concurrent: 256
  body-bytes: 1048576
  window: 10s
  job-tasks: 1000
  pending-jobs: 500

# Groups of requests with a window, a share and service levels each.
classes:
  hold:
    window: 2s
    share: 4
    urgent: true
    objectives: {waiting-under: 200ms, waiting: 0.99, truthful: 0.9999, completion: 0.995}
  master:
    window: 10s
    share: 2
    objectives: {waiting-under: 2s, waiting: 0.95, truthful: 0.999, completion: 0.99}
  report:
    window: 5s
    share: 2
    objectives: {waiting-under: 1s, waiting: 0.99, truthful: 0.9999, completion: 0.99}
  check:
    window: 2s
    share: 1
    objectives: {waiting-under: 500ms, waiting: 0.95, truthful: 0.999, completion: 0.99}

# Services that requests may name, with the class of requests that name none.
services:
  booking: {class: hold}
  inspection: {class: report}

# Who may call. The domain is the home of the caller's claims.
callers:
  hosts:
    token-sha256: bf56f5f5bda801a9c89f4dc9571f087219dba0d831c17cf691586b74f2528a93
    team: booths
    domain: zurich-a
  partners:
    token-sha256: 5caf682fe020febbe264490abf8383a706b8296e5279b4d7393deb9cbf95b35f
    team: studio
    domain: geneva-a
  network:
    token-sha256: 4971f044841dd8bb722ac816dc58684fc897cf331e8585b6fb3f8deea323e4fb
    team: studio
    domain: basel-a
  farms:
    token-sha256: efe1ff7ec13bcd527e5ae654cd0292cf08268ea8269d06fd384c4a351add1c2a
    team: surveys
    domain: basel-a
  crews:
    token-sha256: 9a9c8b4bd19c4e9cbe2cc16b2d3dbc793b75b3a2a283354d2d1b7023352d8a3a
    team: surveys
    domain: zurich-a

# Shares weigh teams where workers are short; quotas bound what a team's tasks
# hold in one failure domain.
teams:
  booths: {share: 2}
  studio: {share: 2, quota: {millicores: 400000, memory-bytes: 1600000000000, accelerators: 200}}
  surveys: {share: 1, quota: {millicores: 800000}}

# Labels that work may carry. Other labels are refused as mislabelled.
work: [slot-hold, mastering, transcoding, load-report, wear-comparison, tension-check]

# Retries of idempotent requests: how many for each first try, and at most.
retry: {ratio: 0.1, attempts: 3}

# The budget of one entry VM for traffic to other regions.
regions: {bytes-per-second: 1000000}

jobs:
  task-lease: 10s
  attempts: 5
  age-batch: 10m
  gang-reservation: 2m
  quarantine-failures: 3
  quarantine-probe: 30s
  oversize-ratio: 1.5

exceptions:
- name: network-onboarding
  caller: network
  reason: The network customer migrates its archive and may not crowd out the hosts meanwhile.
  author: operations
  limits: {requests-per-second: 500, burst: 100, concurrent: 64}
`
