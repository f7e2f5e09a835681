// Settings of an edge. Times are in milliseconds. Set at least name, zone, zones, port, planner and
// routers.
{
  name: error 'name: give this edge a unique name that stays the same after a restart',
  zone: error 'zone: set the zone of this edge, one of zones',
  zones: [self.zone],
  port: 0,
  planner: error 'planner: set the address of the planner, 127.0.0.1:PORT',
  model: 'sorrel',
  routers: 1,  // number of edges in the deployment
  classes: [
    { name: 'chat', aimMs: 1000, aimMsPer1000: 40, deadlineMs: 4000, deadlineMsPer1000: 80, worth: 1,
      repeat: 'safe', scope: 'all', repeatWindowMs: 0 },
    { name: 'order', aimMs: 1000, aimMsPer1000: 40, deadlineMs: 4000, deadlineMsPer1000: 80, worth: 3,
      repeat: 'unsafe', scope: 'all', repeatWindowMs: 0 },
  ],
  tenants: [],
  kinds: [
    { name: 'prefill', role: 'read', memoryTokens: 200000 },
    { name: 'decode', role: 'write', memoryTokens: 150000 },
  ],
  limits: {
    maxAttempts: 6,
    cancel: true,
    probes: true,
    backoffHints: true,
    maxBackoffMs: 2000,
    writersRead: false,
    tells: true,
    probePrice: 0.003,
    tellPrice: 0.003,
    reports: 'outcomes',
    overShareWorth: 0.1,
  },
  rules: { coldFrom: 0.26, coldMs: 12000, fallMultiple: 3, fallMs: 3000, releaseMs: 500 },
  serving: {
    marginMs: 20,  // answers are sent this long before the client's deadline
    resumes: true,
    stallMs: 10000,  // the longest time that a client may read nothing of its answer
    maxOpen: 10000,
    defaultMaxTokens: 256,
    mostMaxTokens: 4096,
    maxPromptBytes: 1048576,
    threads: 2,
    connectionsPerEngine: 4,
    dialMs: 250,
    idleMs: 30000,
    streamsPerConnection: 1000,
    drainMs: 10000,
  },
  traceShare: 0,  // share of requests whose spans are logged, besides those that clients sample
  pastFolder: '',  // for state that is kept across restarts; one folder for each edge
  teachKeys: [],  // { id: 'k1', secret: '16 bytes or more' }: edges that share a key teach new ones
  record: {
    folder: '',  // for the record of decisions, one folder for each edge; empty for no record
    megabytes: 64,  // size of the window that is always kept: about 250,000 requests
    minutes: 60,
    keptMegabytes: 256,  // size of the records preserved after an anomaly or on request
  },
  seed: 1,
}
