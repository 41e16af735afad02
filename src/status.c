#include <stdarg.h>
#include <stdio.h>

#include "status.h"

enum gyp_status
gyp_fail(struct gyp_error *err, enum gyp_status code, const char *fmt, ...)
{
	va_list ap;

	if (err == NULL)
		return code;
	err->code = code;
	va_start(ap, fmt);
	vsnprintf(err->message, sizeof(err->message), fmt, ap);
	va_end(ap);
	return code;
}

const char *
gyp_status_name(enum gyp_status code)
{
	static const char *const names[] = {"ok", "bad input", "too large",
	    "not found", "conflict", "unavailable", "i/o error", "corrupt",
	    "disk full"};

	return names[code];
}
