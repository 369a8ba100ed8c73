/* Fails system calls of the process into which it is loaded with LD_PRELOAD.
 *
 * The file that IRONRAIL_SYSCALL_FAULTS names is mapped into memory: one rule per call, which the test process
 * changes while this process runs. Calls on sockets count only for IPv4 and IPv6, so that the event loop's own
 * wake-up channels keep working. `control.py` has the same layout and the same order of calls.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

enum call {
    ACCEPT, BIND, CONNECT, FSYNC, IOCTL, LOG_WRITE, FILE_WRITE, OPEN, POLL, READ, RENAME, SETSOCKOPT, SHUTDOWN,
    SOCKET, WRITE, WAKE_UP, GETSOCKNAME, CALLS
};

#define SHORT (-1) /* transfer one byte instead of failing */
#define UNLIMITED 0xffffffffu

struct rule {
    _Atomic int32_t error; /* errno, SHORT, or 0 for no fault */
    _Atomic uint32_t per_thousand;
    _Atomic uint32_t skip;      /* calls that succeed before the first failure */
    _Atomic uint32_t remaining; /* failures that are left */
    _Atomic uint32_t calls;
    _Atomic uint32_t failed;
};

static struct rule *rules;
static _Atomic uint64_t random_state = 0x9e3779b97f4a7c15u;

__attribute__((constructor)) static void map_rules(void) {
    const char *path = getenv("IRONRAIL_SYSCALL_FAULTS");
    if (path == NULL)
        return;
    int fd = (int)syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC);
    if (fd < 0)
        abort();
    void *memory = mmap(NULL, CALLS * sizeof(struct rule), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    syscall(SYS_close, fd);
    if (memory == MAP_FAILED)
        abort();
    rules = memory;
}

static uint32_t draw(void) {
    uint64_t x = random_state;
    x ^= x << 13;
    x ^= x >> 7;
    x ^= x << 17;
    random_state = x;
    return (uint32_t)(x >> 32) % 1000;
}

/* Return the fault of this call: an errno, SHORT, or 0. */
static int fault(enum call call) {
    if (rules == NULL)
        return 0;
    struct rule *rule = &rules[call];
    int error = rule->error;
    if (error == 0)
        return 0;
    rule->calls++;
    if (rule->skip > 0) {
        rule->skip--;
        return 0;
    }
    if (rule->remaining == 0 || draw() >= rule->per_thousand)
        return 0;
    if (rule->remaining != UNLIMITED)
        rule->remaining--;
    rule->failed++;
    return error;
}

static int is_active(enum call call) { return rules != NULL && rules[call].error != 0; }

static int is_internet_socket(int fd) {
    int saved = errno;
    int domain = 0;
    socklen_t size = sizeof domain;
    long result = syscall(SYS_getsockopt, fd, SOL_SOCKET, SO_DOMAIN, &domain, &size);
    errno = saved;
    return result == 0 && (domain == AF_INET || domain == AF_INET6);
}

static int is_local_socket(int fd) {
    int saved = errno;
    int domain = 0;
    socklen_t size = sizeof domain;
    long result = syscall(SYS_getsockopt, fd, SOL_SOCKET, SO_DOMAIN, &domain, &size);
    errno = saved;
    return result == 0 && domain == AF_UNIX;
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) \
        real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

#define FAIL_IF(call) \
    do { \
        int error_ = fault(call); \
        if (error_ > 0) { \
            errno = error_; \
            return -1; \
        } \
    } while (0)

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    FAIL_IF(ACCEPT);
    return real(fd, address, size, flags);
}

int bind(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(bind);
    FAIL_IF(BIND);
    return real(fd, address, size);
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    FAIL_IF(CONNECT);
    return real(fd, address, size);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain == AF_INET || domain == AF_INET6)
        FAIL_IF(SOCKET);
    return real(domain, type, protocol);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t size) {
    REAL(setsockopt);
    FAIL_IF(SETSOCKOPT);
    return real(fd, level, name, value, size);
}

int getsockname(int fd, struct sockaddr *address, socklen_t *size) {
    REAL(getsockname);
    FAIL_IF(GETSOCKNAME);
    return real(fd, address, size);
}

int shutdown(int fd, int how) {
    REAL(shutdown);
    FAIL_IF(SHUTDOWN);
    return real(fd, how);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    REAL(poll);
    FAIL_IF(POLL);
    return real(fds, count, timeout);
}

int ioctl(int fd, unsigned long request, ...) {
    REAL(ioctl);
    va_list arguments;
    va_start(arguments, request);
    void *argument = va_arg(arguments, void *);
    va_end(arguments);
    if (is_active(IOCTL) && is_internet_socket(fd))
        FAIL_IF(IOCTL);
    return real(fd, request, argument);
}

int fsync(int fd) {
    REAL(fsync);
    FAIL_IF(FSYNC);
    return real(fd);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    FAIL_IF(RENAME);
    return real(from, to);
}

#define OPENING(name) \
    int name(const char *path, int flags, ...) { \
        REAL(name); \
        va_list arguments; \
        va_start(arguments, flags); \
        mode_t mode = va_arg(arguments, mode_t); \
        va_end(arguments); \
        FAIL_IF(OPEN); \
        return real(path, flags, mode); \
    }

OPENING(open)
OPENING(open64)

static enum call read_kind(int fd) { return is_active(READ) && is_internet_socket(fd) ? READ : CALLS; }

ssize_t read(int fd, void *data, size_t size) {
    REAL(read);
    if (read_kind(fd) == READ) {
        FAIL_IF(READ);
        if (rules[READ].error == SHORT && size > 1)
            size = 1;
    }
    return real(fd, data, size);
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    REAL(recv);
    if (read_kind(fd) == READ)
        FAIL_IF(READ);
    return real(fd, data, size, flags);
}

static enum call write_kind(int fd) {
    if (rules == NULL)
        return CALLS;
    if (fd == STDOUT_FILENO || fd == STDERR_FILENO)
        return LOG_WRITE;
    if (is_active(WRITE) && is_internet_socket(fd))
        return WRITE;
    if (is_active(WAKE_UP) && is_local_socket(fd))
        return WAKE_UP;
    if (is_active(FILE_WRITE) && lseek(fd, 0, SEEK_CUR) >= 0)
        return FILE_WRITE;
    return CALLS;
}

ssize_t write(int fd, const void *data, size_t size) {
    REAL(write);
    enum call kind = write_kind(fd);
    if (kind != CALLS) {
        int error = fault(kind);
        if (error > 0) {
            errno = error;
            return -1;
        }
        if (error == SHORT && size > 1)
            size = 1;
    }
    return real(fd, data, size);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (write_kind(fd) == WRITE) {
        int error = fault(WRITE);
        if (error > 0) {
            errno = error;
            return -1;
        }
        if (error == SHORT && count > 0 && parts[0].iov_len > 0)
            return syscall(SYS_write, fd, parts[0].iov_base, 1);
    }
    return real(fd, parts, count);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    if (write_kind(fd) == WRITE) {
        int error = fault(WRITE);
        if (error > 0) {
            errno = error;
            return -1;
        }
    }
    return real(fd, message, flags);
}

ssize_t send(int fd, const void *data, size_t size, int flags) {
    REAL(send);
    enum call kind = write_kind(fd);
    if (kind != CALLS) {
        int error = fault(kind);
        if (error > 0) {
            errno = error;
            return -1;
        }
    }
    return real(fd, data, size, flags);
}
