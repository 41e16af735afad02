/* Prints a first port from which on COUNT ports are free on loopback. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define COUNT    50
#define ATTEMPTS 200

static int
is_free(int port)
{
	struct sockaddr_in in = {
	    .sin_family = AF_INET, .sin_port = htons((unsigned short)port)};
	int fd = socket(AF_INET, SOCK_STREAM, 0), ok;

	in.sin_addr.s_addr = htonl(INADDR_ANY);
	ok = bind(fd, (struct sockaddr *)&in, sizeof(in)) == 0;
	close(fd);
	return ok;
}

int
main(void)
{
	int attempt, i;

	srand((unsigned)time(NULL) ^ ((unsigned)getpid() << 8));
	for (attempt = 0; attempt < ATTEMPTS; attempt++) {
		int base = 10000 + rand() % 200 * 100;

		for (i = 0; i < COUNT && is_free(base + i); i++)
			continue;
		if (i == COUNT) {
			printf("%d\n", base);
			return 0;
		}
	}
	return 1;
}
