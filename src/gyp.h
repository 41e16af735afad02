#ifndef GYP_H
#define GYP_H

/*
 * NAME
 *	gyp - index of the modules' headers, by layer
 *
 * DESCRIPTION
 *	The core takes the time and messages as arguments and returns messages
 *	through queues; it uses no clock, sockets or files. The I/O layer of
 *	the daemons provides these. Headers of single programs and private
 *	headers (*_int.h) are not listed.
 */

/* ---- Common -------------------------------------------------------------- */
#include "buf.h"      /* slices and growable byte buffers */
#include "counters.h" /* named counters and histograms of one process */
#include "event.h"    /* log events of the core */
#include "json.h"     /* JSON objects checked against a list of fields */
#include "msg.h"      /* ownership helpers for generated messages */
#include "status.h"   /* result codes and error messages */
#include "table.h"    /* rows addressed by handles */
#include "units.h"    /* whole numbers with a unit */

/* ---- Core: the cell ------------------------------------------------------ */
#include "admission.h" /* endpoints that the admission service allows */
#include "admission_prefetch.h" /* when to query the service in advance */
#include "admission_query.h"    /* which endpoints a query names */
#include "capacity_index.h"     /* free capacity during a placement round */
#include "carriers.h"           /* assigns the leader's calls to entries */
#include "clearing.h"           /* endpoints cleared of filling tasks */
#include "cusum.h"              /* endpoints that fail part of their runs */
#include "endpoint_ranking.h"   /* endpoints for the tasks of a unit */
#include "endpoint_speed.h"     /* learned speed of each endpoint */
#include "fleet.h"              /* endpoints and the calls to them */
#include "flow.h"               /* tables of flows and their endpoints */
#include "flow_intake.h"        /* which submitted flows are accepted */
#include "flow_json.h"          /* parser for flows in JSON */
#include "flow_scheduler.h"     /* schedules flows on a leader */
#include "headroom.h"           /* adaptive share kept for urgent work */
#include "health.h"             /* attributes failures to endpoints or jobs */
#include "host_msg.h"           /* wire messages of calls at endpoints */
#include "inventory.h"          /* requests for the provider's list */
#include "leases.h"             /* the leader's view of endpoint leases */
#include "load_shed.h"          /* when work beyond a rate is refused */
#include "placer.h"             /* which task of a flow starts where */
#include "policy.h"             /* placements, evictions and refusals */
#include "preempt.h"            /* runs stopped for more urgent work */
#include "query_entries.h"      /* entries that carry admission queries */
#include "quota.h"              /* what may still start under a cap */
#include "raft.h"               /* replicated log */
#include "record.h"             /* records that a replica writes to its disk */
#include "rendezvous.h"         /* rendezvous hashing of items to processes */
#include "replay.h"             /* replays a trace in virtual time */
#include "replica.h"            /* log, tables and decisions of a replica */
#include "reported_attempts.h"  /* attempts that endpoints report as running */
#include "reserve.h"            /* capacity kept for units that must wait */
#include "rules.h"              /* scheduling rules of the operators */
#include "run_forecast.h"       /* learned run times */
#include "run_stats.h"          /* failure and run time statistics */
#include "slack.h"              /* whether work can meet its objective */
#include "state.h"              /* tables of jobs, endpoints and rules */
#include "straggler.h"          /* whether to restart a run elsewhere */
#include "straggler_check.h"    /* has runs that stall or are slow stopped */
#include "token_bucket.h"       /* whether events are within a rate */
#include "trace.h"              /* events of a cell, one per line */
#include "usage.h"              /* latest measured usage */
#include "wal.h"                /* segments of the write-ahead log */
#include "workspace.h"          /* workspaces and their API keys */
#include "workspace_metrics.h"  /* metrics and log line of workspaces */
#include "workspace_view.h"     /* what operators see of workspaces */

/* ---- Core: the entry ----------------------------------------------------- */
#include "entry.h"       /* open calls and start orders of one entry */
#include "jobspec.h"     /* parser for job requests in JSON */
#include "retry_after.h" /* when refused callers should retry */

/* ---- I/O layer ----------------------------------------------------------- */
#include "api.h"           /* the entry's HTTP API */
#include "bootstrap.h"     /* replicas that start a new cell together */
#include "data_dir.h"      /* files of a data directory */
#include "exchange.h"      /* sends orders to endpoints over HTTP */
#include "file.h"          /* file operations for durable data */
#include "httpc.h"         /* HTTP client */
#include "httpd.h"         /* HTTP server */
#include "link.h"          /* framed TCP connections between processes */
#include "log.h"           /* structured lines on standard output */
#include "loop_deferred.h" /* work deferred to the end of an iteration */
#include "loop_monitor.h"  /* slow iterations of an event loop */
#include "program.h"       /* command line and settings of the daemons */
#include "reload.h"        /* reloads a settings file */
#include "settings.h"      /* reads and checks settings files */
#include "socket.h"        /* numeric addresses and TCP sockets */
#include "store.h"         /* durable storage of a replica's records */
#include "timer.h"         /* timers on the event loop */

#endif
