#include "rendezvous.h"
#include "buf.h"

uint64_t
gyp_rendezvous_weight(uint64_t process, uint64_t item)
{
	uint64_t pair[2] = {process, item};
	struct gyp_slice s = {(const uint8_t *)pair, sizeof(pair)};

	return ((uint64_t)gyp_crc32(s) << 32) | (uint32_t)process;
}
