#ifndef MEMBERS_FIXTURE_H
#define MEMBERS_FIXTURE_H

#include <glib.h>

#include "replica.h"

/*
 * NAME
 *	members_fixture - a cell of whole replicas in one process
 *
 * DESCRIPTION
 *	Links lose nothing, and disks sync at once unless a test sets a time.
 *	Tests stop replicas, cut their power, erase their disks, add others, and
 *	check who is a member and who votes.
 */

#define NODES       9
#define VOTERS      3
#define ELECTION_MS 400
#define JOIN_MS     500
#define ENTRY_ID    999999

struct node {
	struct gyp_replica *replica; /* NULL while stopped */
	uint64_t id;
	char address[24];
	const char *data_centre;
	GPtrArray *disk;    /* struct gyp_record */
	guint boot_records; /* records on the disk at the start */
	guint synced;       /* records that survive a loss of power */
	uint64_t sync_at;   /* end of the sync under way, 0 for none */
	bool cut;           /* all frames to and from it are lost */
	bool disk_full;     /* records are kept but not synced */
	bool mute;          /* what it sends is lost */
	bool paused;        /* does nothing; frames to it wait */
};

struct frame {
	int to;
	uint64_t from;
	GBytes *packed;
};

struct cell;

/* Called with each reply to the entry. */
typedef void (*cell_reply_fn)(struct cell *, const Gyp__Reply *);

struct cell {
	struct node nodes[NODES];
	int n;
	GQueue frames; /* struct frame */
	uint64_t now;
	uint64_t round;
	uint64_t calls; /* id of the latest call of the entry */
	uint64_t last_replica_id;
	uint32_t seed;
	GRand *rand;          /* of sync times and lost records, or NULL */
	uint32_t sync_max_ms; /* longest time of a sync, 0: at once */
	uint32_t voters;      /* 0 for VOTERS */
	uint32_t endpoint_lease_ms;      /* 0 for 60 s */
	uint32_t election_ms;            /* 0 for ELECTION_MS */
	cell_reply_fn replied;           /* or NULL */
	uint32_t catch_up_ms;            /* 0 for the default */
	uint32_t relay_heartbeats_from;  /* of replicas started from now on */
	uint32_t frames_while_full;      /* between replicas, from a full one */
	uint32_t snapshots, log_entries; /* sent to any replica */
	Gyp__Reply *reply;               /* the latest to the entry */
};

void cell_start(struct cell *c, int i);

void cell_stop(struct cell *c, int i);

/* Stops it; any prefix of the records that are not synced stays on the disk. */
void cell_cut_power(struct cell *c, int i);

void cell_lose_disk(struct cell *c, int i);

/* A disk without space; the replica is told, and told when there is space. */
void cell_fill_disk(struct cell *c, int i);
void cell_free_disk(struct cell *c, int i);

/* Ends a pause: the replica reads the frames that waited, then the clock. */
void cell_resume(struct cell *c, int i);

/* Adds and starts a replica with an empty disk; returns its index. */
int cell_add_node(struct cell *c, char centre);

/* Each letter of centres adds a replica in the data centre of that name. */
void cell_init(struct cell *c, uint32_t seed, const char *centres);

/* The two steps of cell_init(); a test may set options in between. */
void cell_prepare(struct cell *c, uint32_t seed);
void cell_populate(struct cell *c, const char *centres);

void cell_clear(struct cell *c);

/* Drops all frames that are under way between replicas. */
void cell_drop_frames(struct cell *c);

void cell_run(struct cell *c, uint32_t ms);

int cell_leader(const struct cell *c);

const Gyp__Config *cell_members(const struct cell *c);

bool cell_is_voter(const struct cell *c, uint64_t id);

const Gyp__Member *cell_find_member(const Gyp__Config *config, uint64_t id);

/* Returns the voters' data centres, sorted, as one string to be freed. */
char *cell_voting_centres(const struct cell *c);

void cell_assert_centres(const struct cell *c, const char *expected);

/* Sends a removal to the leader; the reply arrives later. */
void cell_send_removal(struct cell *c, uint64_t call, const char *name);

/* Sends a call to the leader, as an entry does; the reply arrives later. */
void cell_send_call(struct cell *c, Gyp__Call *msg);

/* Repeats the request while another change is uncommitted. */
Gyp__Code cell_remove_member(struct cell *c, const char *name);

/* Announces an endpoint; true when that was committed and answered. */
bool cell_announce(struct cell *c, uint64_t nth);

/* Runs until the members have not changed for several join intervals. */
void cell_settle(struct cell *c);

#endif
