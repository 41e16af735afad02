#ifndef GYP_H
#define GYP_H

/*
 * NAME
 *	gyp - all of gypsumbend's interfaces, in reading order
 *
 * DESCRIPTION
 *	The core takes time and messages as arguments and gives messages back
 *	through queues; it has no clock, sockets or files. The daemons put
 *	those round it.
 */

/* ---- Small things used everywhere --------------------------------------- */
#include "buf.h"
#include "counters.h"
#include "event.h" /* what the core decided, for the log */
#include "json.h"
#include "msg.h"
#include "status.h"
#include "table.h"
#include "units.h"

/* ---- Core: the cell ------------------------------------------------------ */
#include "admission.h"          /* which endpoints a policy service allows */
#include "admission_prefetch.h" /* when to ask about a step to come */
#include "admission_query.h"    /* whom to ask the policy service about */
#include "capacity_index.h"     /* what endpoints have left during a round */
#include "carriers.h"           /* which entry makes a leader's calls */
#include "cusum.h"              /* which endpoints fail part of them */
#include "endpoint_ranking.h"   /* endpoints by how good they are for a task */
#include "fleet.h"              /* calls at the endpoints that run them */
#include "flow.h" /* tables of jobs whose steps depend on each other */
#include "flow_scheduler.h" /* these three under one leader */
#include "headroom.h"       /* room kept for urgent work */
#include "health.h"         /* who is to blame for failures */
#include "host_msg.h"       /* those calls as messages */
#include "leases.h"         /* who may still be running */
#include "placer.h"         /* which of their tasks goes where */
#include "policy.h"         /* which task goes where */
#include "preempt.h"        /* whose run ends for more urgent work */
#include "raft.h"           /* replicated log */
#include "record.h"         /* what goes to the disk */
#include "rendezvous.h"     /* which of several looks after a thing */
#include "replay.h"         /* a trace through tables and policy */
#include "replica.h"        /* log, tables and decisions together */
#include "reported_runs.h"  /* what endpoints say that they run */
#include "reserve.h"        /* room kept for what finds none now */
#include "rules.h"          /* what operators ask for, one line each */
#include "run_stats.h"      /* how well endpoints run them */
#include "slack.h"          /* whether work can still be in time */
#include "state.h"          /* tables of jobs, endpoints and rules */
#include "straggler.h"      /* which run should begin anew elsewhere */
#include "trace.h"          /* one event a line */
#include "usage.h"          /* measured usage, from heartbeats */
#include "wal.h"            /* bytes of a log segment */

/* ---- Core: the entry ----------------------------------------------------- */
#include "entry.h"       /* request table and start orders */
#include "jobspec.h"     /* job requests in JSON */
#include "retry_after.h" /* when refused callers should return */

/* ---- Sockets, files and timers ------------------------------------------- */
#include "bootstrap.h"     /* replicas that begin together */
#include "door.h"          /* HTTP interface of the entry */
#include "exchange.h"      /* orders carried out at endpoints */
#include "file.h"          /* file operations that tests can make fail */
#include "folder.h"        /* files of a data folder */
#include "httpc.h"         /* HTTP client that sends once */
#include "httpd.h"         /* HTTP server */
#include "link.h"          /* frames between processes */
#include "log.h"           /* lines on standard error */
#include "loop_deferred.h" /* what a turn does once, at its end */
#include "loop_monitor.h"  /* long turns of a loop */
#include "program.h"       /* command line of the daemons */
#include "reload.h"        /* settings that change while a program runs */
#include "settings.h"      /* INI files */
#include "store.h"         /* records on a disk */
#include "timer.h"         /* clock and subscriptions */

#endif
