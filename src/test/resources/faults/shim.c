/*
 * Preloaded into a scheduler process by the fault tests: makes system calls fail in ways that Linux documents, and
 * changes the clocks. Controlled through a shared file of 32-bit integers, which the variable FAULT_CONTROL names. The
 * order of the integers is that of SystemCallShim.Slot in SystemCallShim.java.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { ACCEPT_COUNT, ACCEPT_ERRNO, SOCKET_COUNT, SOCKET_ERRNO, CONNECT_COUNT, CONNECT_ERRNO, READ_MAX, WRITE_MAX,
       EPOLL_INTERRUPTS, WALL_CLOCK_SECONDS, METERED_CLOCK_MILLIS, EMPTY_POLLS, SLOTS };

static volatile int32_t no_faults[SLOTS];
static volatile int32_t *control = no_faults;
/* The time that the metered clock shows, and the real monotonic time at which it was last set. */
static volatile int64_t frozen_nanos;
static volatile int64_t frozen_at;
static volatile int64_t last_nanos; /* The latest monotonic time that was returned, which must not decrease. */

__attribute__((constructor)) static void open_control(void) {
  const char *path = getenv("FAULT_CONTROL");
  int fd = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
  if (fd >= 0) {
    void *map = mmap(NULL, SLOTS * sizeof(int32_t), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (map != MAP_FAILED) control = map;
    close(fd);
  }
}

#define REAL(name) ((__typeof__(&name)) dlsym(RTLD_NEXT, #name))

/* Decrements the number of failures left in the slot; false if there were none. */
static int consume_failure(int slot) {
  if (control[slot] <= 0) return 0;
  if (__sync_sub_and_fetch(&control[slot], 1) >= 0) return 1;
  __sync_fetch_and_add(&control[slot], 1);
  return 0;
}

/* Whether the descriptor is a stream socket; keeps errno. */
static int is_stream_socket(int fd) {
  int type;
  socklen_t length = sizeof type;
  int saved = errno;
  int is_stream = getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && type == SOCK_STREAM;
  errno = saved;
  return is_stream;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
  if (consume_failure(ACCEPT_COUNT)) { errno = control[ACCEPT_ERRNO]; return -1; }
  return REAL(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
  if (consume_failure(ACCEPT_COUNT)) { errno = control[ACCEPT_ERRNO]; return -1; }
  return REAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
  int is_ip = domain == AF_INET || domain == AF_INET6;
  if (is_ip && consume_failure(SOCKET_COUNT)) { errno = control[SOCKET_ERRNO]; return -1; }
  return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
  int is_ip = address->sa_family == AF_INET || address->sa_family == AF_INET6;
  if (is_ip && consume_failure(CONNECT_COUNT)) { errno = control[CONNECT_ERRNO]; return -1; }
  return REAL(connect)(fd, address, length);
}

ssize_t read(int fd, void *buffer, size_t count) {
  size_t max_bytes = control[READ_MAX];
  if (max_bytes > 0 && count > max_bytes && is_stream_socket(fd)) count = max_bytes;
  return REAL(read)(fd, buffer, count);
}

ssize_t write(int fd, const void *buffer, size_t count) {
  size_t max_bytes = control[WRITE_MAX];
  if (max_bytes > 0 && count > max_bytes && is_stream_socket(fd)) count = max_bytes;
  return REAL(write)(fd, buffer, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
  if (control[WRITE_MAX] > 0 && count > 0 && is_stream_socket(fd)) {
    return write(fd, parts[0].iov_base, parts[0].iov_len);
  }
  return REAL(writev)(fd, parts, count);
}

static int64_t real_nanos(void) {
  struct timespec now;
  REAL(clock_gettime)(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000000000LL + now.tv_nsec;
}

static void refresh_clock(void) {
  frozen_at = real_nanos();
  frozen_nanos = frozen_at;
}

/*
 * The clock of a metered processor, which charges the CPU time used only when the process waits: between two waits it
 * advances by 10 ns at each call, until METERED_CLOCK_MILLIS have passed.
 */
static int64_t metered_nanos(void) {
  int64_t real = real_nanos();
  if (frozen_nanos == 0 || real - frozen_at > control[METERED_CLOCK_MILLIS] * 1000000LL) refresh_clock();
  return __sync_add_and_fetch(&frozen_nanos, 10);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
  int result = REAL(clock_gettime)(clock, now);
  if (result == 0 && clock == CLOCK_REALTIME) now->tv_sec += control[WALL_CLOCK_SECONDS];
  if (result == 0 && clock == CLOCK_MONOTONIC && control[METERED_CLOCK_MILLIS] > 0) {
    int64_t nanos = metered_nanos();
    int64_t last = last_nanos;
    if (nanos < last) nanos = last; else last_nanos = nanos;
    now->tv_sec = nanos / 1000000000LL;
    now->tv_nsec = nanos % 1000000000LL;
  }
  return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
  int result = REAL(gettimeofday)(now, zone);
  if (result == 0) now->tv_sec += control[WALL_CLOCK_SECONDS];
  return result;
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
  if (timeout != 0 && consume_failure(EPOLL_INTERRUPTS)) { errno = EINTR; return -1; }
  if (timeout != 0 && control[METERED_CLOCK_MILLIS] > 0) refresh_clock();
  int ready = REAL(epoll_wait)(fd, events, max_events, timeout);
  if (timeout == 0 && ready == 0) __sync_fetch_and_add(&control[EMPTY_POLLS], 1);
  if (timeout != 0 && control[METERED_CLOCK_MILLIS] > 0) { int saved = errno; refresh_clock(); errno = saved; }
  return ready;
}
