#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include <glib.h>

#include "file.h"

/* Size of one read, in bytes. */
#define READ_BYTES (64 * 1024)

/* ---- System calls -------------------------------------------------------- */

static int
system_open(struct gyp_files *f, const char *path, int flags)
{
	(void)f;
	return open(path, flags | O_CLOEXEC, 0600);
}

static ssize_t
system_write(struct gyp_files *f, int fd, const void *data, size_t len)
{
	(void)f;
	return write(fd, data, len);
}

static ssize_t
system_pwrite(
    struct gyp_files *f, int fd, const void *data, size_t len, off_t offset)
{
	(void)f;
	return pwrite(fd, data, len, offset);
}

static int
system_sync(struct gyp_files *f, int fd)
{
	(void)f;
	return fsync(fd);
}

static int
system_datasync(struct gyp_files *f, int fd)
{
	(void)f;
	return fdatasync(fd);
}

static int
system_rename(struct gyp_files *f, const char *from, const char *to)
{
	(void)f;
	return rename(from, to);
}

static int
system_unlink(struct gyp_files *f, const char *path)
{
	(void)f;
	return unlink(path);
}

struct gyp_files *
gyp_files_system(void)
{
	static const struct gyp_file_ops ops = {.open = system_open,
	    .write = system_write,
	    .pwrite = system_pwrite,
	    .sync = system_sync,
	    .datasync = system_datasync,
	    .rename = system_rename,
	    .unlink = system_unlink};
	static struct gyp_files files = {&ops};

	return &files;
}

/* ---- Helpers ------------------------------------------------------------ */

enum gyp_status
gyp_file_fail(struct gyp_error *err, const char *operation, const char *path)
{
	enum gyp_status code =
	    errno == ENOSPC || errno == EDQUOT ? GYP_FULL : GYP_IO;

	return gyp_fail(
	    err, code, "%s %s: %s", operation, path, g_strerror(errno));
}

enum gyp_status
gyp_file_write(struct gyp_files *f, int fd, const char *path,
    struct gyp_slice s, struct gyp_error *err)
{
	while (s.len > 0) {
		ssize_t n = f->ops->write(f, fd, s.data, s.len);

		if (n < 0 && errno == EINTR)
			continue;
		if (n == 0)
			errno = EIO;
		if (n <= 0)
			return gyp_file_fail(err, "write", path);
		s.data += n;
		s.len -= (size_t)n;
	}
	return GYP_OK;
}

enum gyp_status
gyp_file_sync(
    struct gyp_files *f, int fd, const char *path, struct gyp_error *err)
{
	if (f->ops->sync(f, fd) != 0)
		return gyp_file_fail(err, "sync", path);
	return GYP_OK;
}

enum gyp_status
gyp_file_sync_dir(struct gyp_files *f, const char *dir, struct gyp_error *err)
{
	int fd = f->ops->open(f, dir, O_RDONLY | O_DIRECTORY);
	enum gyp_status st;

	if (fd < 0)
		return gyp_file_fail(err, "open", dir);
	st = gyp_file_sync(f, fd, dir, err);
	close(fd);
	return st;
}

enum gyp_status
gyp_file_create(struct gyp_files *f, const char *path, struct gyp_slice s,
    struct gyp_error *err)
{
	int fd = f->ops->open(f, path, O_WRONLY | O_CREAT | O_TRUNC);
	enum gyp_status st;

	if (fd < 0)
		return gyp_file_fail(err, "open", path);
	st = gyp_file_write(f, fd, path, s, err);
	if (st == GYP_OK)
		st = gyp_file_sync(f, fd, path, err);
	close(fd);
	return st;
}

enum gyp_status
gyp_file_replace(struct gyp_files *f, const char *dir, const char *name,
    struct gyp_slice s, struct gyp_error *err)
{
	char *path = g_build_filename(dir, name, NULL);
	char *tmp = g_strconcat(path, ".tmp", NULL);
	enum gyp_status st = gyp_file_create(f, tmp, s, err);

	if (st == GYP_OK && f->ops->rename(f, tmp, path) != 0)
		st = gyp_file_fail(err, "rename", tmp);
	if (st == GYP_OK)
		st = gyp_file_sync_dir(f, dir, err);
	g_free(tmp);
	g_free(path);
	return st;
}

enum gyp_status
gyp_file_read(const char *path, struct gyp_buf *buf, struct gyp_error *err)
{
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	enum gyp_status st = GYP_OK;
	ssize_t n = 0;

	if (fd < 0 && errno == ENOENT)
		return gyp_fail(err, GYP_NOT_FOUND, "%s: no such file", path);
	if (fd < 0)
		return gyp_file_fail(err, "open", path);
	do {
		uint8_t *p = gyp_buf_extend(buf, READ_BYTES);

		n = read(fd, p, READ_BYTES);
		buf->len -= (size_t)(READ_BYTES - MAX(n, 0));
	} while (n > 0 || (n < 0 && errno == EINTR));
	if (n < 0)
		st = gyp_file_fail(err, "read", path);
	close(fd);
	return st;
}
