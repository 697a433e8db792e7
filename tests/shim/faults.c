/* System calls that fail now and then, and a wall clock that is stepped: loaded into the program by tests (LD_PRELOAD).
 *
 * FAULTS names a file of 64-bit numbers, mapped into the process, that the test changes while the program runs. Rates are
 * in a thousand. Reads and writes of eight bytes and fewer do not fail: they wake threads. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

struct control {
    int64_t wall_offset_us; /* added to the wall clock */
    int64_t accept_rate;    /* accept: ECONNABORTED, ENFILE, ENOBUFS */
    int64_t connect_rate;   /* socket and connect: ENOBUFS, EADDRNOTAVAIL, ENETUNREACH */
    int64_t interrupt_rate; /* waits, reads and writes: EINTR */
    int64_t short_rate;     /* reads and writes on sockets: a part */
    int64_t disk_rate;      /* writes and syncs to files: ENOSPC, EIO */
    int64_t break_rate;     /* reads and writes on sockets that it connected: ETIMEDOUT, EHOSTUNREACH, for good */
    int64_t abort_rate;     /* accept: ECONNABORTED, and the connection is gone */
    int64_t stall_rate;     /* reads, writes and waits, wake-ups too: the thread stands still for up to 5 ms before or behind */
};

static volatile struct control *control;

/* Sockets that the process itself connected: only these break, so that callers lose nothing by it. */
#define MOST_FDS 65536
static volatile unsigned char connected[MOST_FDS];
static __thread uint64_t state;

__attribute__((constructor)) static void map_control(void) {
    const char *path = getenv("FAULTS");
    int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
    if (file < 0) return;
    void *at = mmap(NULL, sizeof(struct control), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (at != MAP_FAILED) control = at;
}

static uint64_t draw(void) {
    if (!state) state = ((uint64_t)(uintptr_t)&state >> 4) * 0x9e3779b97f4a7c15u ^ (uint64_t)getpid();
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state >> 11;
}

static int strikes(int64_t rate) { return rate > 0 && (int64_t)(draw() % 1000) < rate; }
#define STRIKES(field) (control && strikes(control->field))
#define NEXT(name) \
    static __typeof__(&name) next; \
    if (!next) next = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

/* The thread stands still for a while, as one that gets no processor between two lines. */
#define LONGEST_STALL_NS 5000000
static void stall(void) {
    if (!STRIKES(stall_rate)) return;
    struct timespec time = {0, (long)(draw() % LONGEST_STALL_NS)};
    int before = errno;
    nanosleep(&time, NULL);
    errno = before;
}

static int fails(const int *errors, int count) {
    errno = errors[draw() % (uint64_t)count];
    return -1;
}

static const int accept_errors[] = {ECONNABORTED, ENFILE, ENOBUFS};
static const int connect_errors[] = {EADDRNOTAVAIL, ENETUNREACH};
static const int socket_errors[] = {ENFILE, ENOBUFS};
static const int disk_errors[] = {ENOSPC, EIO};
static const int broken_errors[] = {ETIMEDOUT, EHOSTUNREACH};
static const int interrupted[] = {EINTR};
static const int aborted[] = {ECONNABORTED};

static int is_kind(int fd, mode_t kind) {
    struct stat about;
    return fstat(fd, &about) == 0 && (about.st_mode & S_IFMT) == kind;
}

/* Whether a read or write of `len` bytes fails; `len` may come back smaller. */
static int transfer_fails(int fd, size_t *len) {
    if (!control || *len <= 8) return 0;
    if (STRIKES(interrupt_rate)) return fails(interrupted, 1);
    if (control->short_rate + control->break_rate > 0 && is_kind(fd, S_IFSOCK)) {
        if (fd < MOST_FDS && connected[fd] && STRIKES(break_rate)) {
            shutdown(fd, SHUT_RDWR);
            return fails(broken_errors, 2);
        }
        if (STRIKES(short_rate)) *len = 1 + draw() % *len;
    }
    return 0;
}

int clock_gettime(clockid_t which, struct timespec *at) {
    NEXT(clock_gettime);
    int result = next(which, at);
    if (result == 0 && control && (which == CLOCK_REALTIME || which == CLOCK_REALTIME_COARSE)) {
        int64_t us = at->tv_sec * 1000000 + at->tv_nsec / 1000 + control->wall_offset_us;
        at->tv_sec = us / 1000000;
        at->tv_nsec = us % 1000000 * 1000;
    }
    return result;
}

int accept4(int fd, struct sockaddr *address, socklen_t *len, int flags) {
    NEXT(accept4);
    if (STRIKES(accept_rate)) return fails(accept_errors, 3);
    int taken = next(fd, address, len, flags);
    if (taken >= 0 && taken < MOST_FDS) connected[taken] = 0;
    if (taken >= 0 && STRIKES(abort_rate)) {
        close(taken);
        return fails(aborted, 1);
    }
    return taken;
}

int socket(int family, int type, int protocol) {
    NEXT(socket);
    return family == AF_INET && STRIKES(connect_rate) ? fails(socket_errors, 2) : next(family, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t len) {
    NEXT(connect);
    if (STRIKES(connect_rate)) return fails(connect_errors, 2);
    if (fd >= 0 && fd < MOST_FDS) connected[fd] = 1;
    return next(fd, address, len);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    NEXT(epoll_wait);
    if (STRIKES(interrupt_rate)) return fails(interrupted, 1);
    int ready = next(fd, events, most, timeout);
    stall();
    return ready;
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    NEXT(poll);
    return STRIKES(interrupt_rate) ? fails(interrupted, 1) : next(fds, count, timeout);
}

ssize_t read(int fd, void *bytes, size_t len) {
    NEXT(read);
    if (transfer_fails(fd, &len)) return -1;
    ssize_t got = next(fd, bytes, len);
    stall();
    return got;
}

ssize_t recv(int fd, void *bytes, size_t len, int flags) {
    NEXT(recv);
    if (transfer_fails(fd, &len)) return -1;
    ssize_t got = next(fd, bytes, len, flags);
    stall();
    return got;
}

ssize_t send(int fd, const void *bytes, size_t len, int flags) {
    NEXT(send);
    stall();
    return transfer_fails(fd, &len) ? -1 : next(fd, bytes, len, flags);
}

ssize_t write(int fd, const void *bytes, size_t len) {
    NEXT(write);
    stall();
    if (len > 8 && STRIKES(disk_rate) && is_kind(fd, S_IFREG)) return fails(disk_errors, 2);
    return transfer_fails(fd, &len) ? -1 : next(fd, bytes, len);
}

ssize_t pwrite64(int fd, const void *bytes, size_t len, off64_t at) {
    NEXT(pwrite64);
    return STRIKES(disk_rate) ? fails(disk_errors, 2) : next(fd, bytes, len, at);
}

int fsync(int fd) {
    NEXT(fsync);
    return STRIKES(disk_rate) ? fails(disk_errors, 2) : next(fd);
}

int fdatasync(int fd) {
    NEXT(fdatasync);
    return STRIKES(disk_rate) ? fails(disk_errors, 2) : next(fd);
}
