// Settings of a stand-in Eureka registry. Times are in microseconds.
{
  port: 0,
  evictMicros: 500000,
  deltaMicros: 30000000,
  trace: '',
}
