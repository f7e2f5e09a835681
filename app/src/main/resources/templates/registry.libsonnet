// A stand-in Eureka registry. Times in microseconds.
{
  port: 0,
  evictMicros: 500000,
  deltaMicros: 30000000,
  trace: '',
}
