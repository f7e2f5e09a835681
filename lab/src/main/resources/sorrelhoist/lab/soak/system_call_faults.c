/*
 * Makes chosen system calls of one process fail, for fault tests. Loaded with LD_PRELOAD; controlled through a file
 * that the test has mapped as well (SYSTEM_CALL_FAULTS names it). Every call is counted, so that a test can see that
 * the process really makes the call that it wanted to fail. The layout is that of SystemCallFaults.java.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum call { ACCEPT, SOCKET, CONNECT, READ, WRITE, EPOLL_WAIT, FSYNC, OPEN, CALLS };

struct rule {
    int64_t error;    /* errno to fail with; 0: the call is made; -1: one byte of a read or write is done */
    int64_t every;    /* fails each so many-th call */
    int64_t calls;    /* made since the start */
    int64_t failures; /* failed by this rule since the start */
};

struct control {
    int64_t wall_clock_offset_nanos;
    int64_t wall_clock_reads;
    struct rule rules[CALLS];
};

static struct control none;
static struct control *control = &none;

__attribute__((constructor)) static void map_control(void) {
    const char *name = getenv("SYSTEM_CALL_FAULTS");
    int fd = name == NULL ? -1 : open(name, O_RDWR | O_CLOEXEC);
    if (fd < 0) {
        return;
    }
    void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED) {
        control = mapped;
    }
}

/* Returns 0 where the call is to be made, -1 where it is to be cut short, else the errno to fail with. */
static int64_t fault(enum call call) {
    struct rule *rule = &control->rules[call];
    int64_t made = __atomic_add_fetch(&rule->calls, 1, __ATOMIC_RELAXED);
    int64_t error = __atomic_load_n(&rule->error, __ATOMIC_RELAXED);
    int64_t every = __atomic_load_n(&rule->every, __ATOMIC_RELAXED);
    if (error == 0 || every <= 0 || made % every != 0) {
        return 0;
    }
    __atomic_add_fetch(&rule->failures, 1, __ATOMIC_RELAXED);
    return error;
}

static int is_socket(int fd) {
    struct stat status;
    int before = errno;
    int yes = fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
    errno = before;
    return yes;
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) { \
        real = (__typeof__(&name)) dlsym(RTLD_NEXT, #name); \
    }

#define FAIL_OR(call_kind, made) \
    int64_t error = fault(call_kind); \
    if (error > 0) { \
        errno = (int) error; \
        return -1; \
    } \
    return made;

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept)
    FAIL_OR(ACCEPT, real(fd, address, length))
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4)
    FAIL_OR(ACCEPT, real(fd, address, length, flags))
}

int socket(int domain, int type, int protocol) {
    REAL(socket)
    if (domain != AF_INET && domain != AF_INET6) {
        return real(domain, type, protocol);
    }
    FAIL_OR(SOCKET, real(domain, type, protocol))
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect)
    FAIL_OR(CONNECT, real(fd, address, length))
}

ssize_t read(int fd, void *bytes, size_t size) {
    REAL(read)
    if (!is_socket(fd)) {
        return real(fd, bytes, size);
    }
    int64_t error = fault(READ);
    if (error > 0) {
        errno = (int) error;
        return -1;
    }
    return real(fd, bytes, error < 0 && size > 1 ? 1 : size);
}

ssize_t write(int fd, const void *bytes, size_t size) {
    REAL(write)
    if (!is_socket(fd)) {
        return real(fd, bytes, size);
    }
    int64_t error = fault(WRITE);
    if (error > 0) {
        errno = (int) error;
        return -1;
    }
    return real(fd, bytes, error < 0 && size > 1 ? 1 : size);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev)
    int64_t error = is_socket(fd) ? fault(WRITE) : 0;
    if (error > 0) {
        errno = (int) error;
        return -1;
    }
    return real(fd, parts, error < 0 ? 1 : count);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait)
    FAIL_OR(EPOLL_WAIT, real(fd, events, most, timeout))
}

int fsync(int fd) {
    REAL(fsync)
    FAIL_OR(FSYNC, real(fd))
}

int fdatasync(int fd) {
    REAL(fdatasync)
    FAIL_OR(FSYNC, real(fd))
}

static int open_mode(int flags, va_list rest) {
    return (flags & O_CREAT) != 0 || (flags & O_TMPFILE) == O_TMPFILE ? va_arg(rest, int) : 0;
}

int open64(const char *path, int flags, ...) {
    REAL(open64)
    va_list rest;
    va_start(rest, flags);
    int mode = open_mode(flags, rest);
    va_end(rest);
    FAIL_OR(OPEN, real(path, flags, mode))
}

static void step(struct timespec *time) {
    __atomic_add_fetch(&control->wall_clock_reads, 1, __ATOMIC_RELAXED);
    int64_t offset = __atomic_load_n(&control->wall_clock_offset_nanos, __ATOMIC_RELAXED);
    int64_t nanos = time->tv_nsec + offset % 1000000000;
    time->tv_sec += offset / 1000000000;
    if (nanos < 0) {
        nanos += 1000000000;
        time->tv_sec--;
    } else if (nanos >= 1000000000) {
        nanos -= 1000000000;
        time->tv_sec++;
    }
    time->tv_nsec = nanos;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime)
    int result = real(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME) {
        step(time);
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    REAL(gettimeofday)
    int result = real(time, zone);
    if (result == 0) {
        struct timespec stepped = {time->tv_sec, time->tv_usec * 1000};
        step(&stepped);
        time->tv_sec = stepped.tv_sec;
        time->tv_usec = stepped.tv_nsec / 1000;
    }
    return result;
}
