// Settings of a planner. Times are in milliseconds. Set at least port, registry and edges.
{
  port: 0,
  registry: error 'registry: set the address of the Eureka registry, 127.0.0.1:PORT',
  app: 'ENGINES',  // the Eureka application whose instances are the engines
  edges: 1,
  pollMs: 200,
  registryTimeoutMs: 1000,
  seatMs: 10000,
  doubtMs: 10000,
  probeTimeoutMs: 250,
  probesAtOnce: 32,
}
