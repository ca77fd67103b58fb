/*
 * Model of how a node drains the server beside it, as in src/mesh/server_state.c.
 *
 * A server reports twice that it is ready, then that it drains; it sends a report when the one
 * before has been answered or has failed. A report may be delivered once more, later, also to
 * a node that started after it was sent. The health check of the server fails as soon as the
 * server drains. The node acknowledges the drain. It may restart at any time, which clears its
 * memory.
 *
 * Checked: no request starts at the server once its drain was acknowledged and has ended.
 *
 * Faulty variants, in each of which this is violated:
 * -DNO_SEQUENCE: the node ignores the sequence numbers of reports.
 * -DPROBE_TAKES_ANY: after a restart the node takes the server for ready whatever its health
 *   check answers.
 * -DBELIEVE_FIRST: the node accepts the first report after its start without a health check.
 * -DBELIEVE_SECOND: it accepts the second one so.
 */
#define READY 1
#define DRAINING 2
#define ABSENT 0

byte phase = ABSENT;            /* of the server, as the node knows it */
byte newest_accepted = 0;       /* sequence number of the newest report that the node
                                 * accepted; 0: none */
byte newest_sent = 0;           /* sequence number of the newest report that the server
                                 * sent; 0: none */
bool server_draining = false;   /* the server has begun to drain */
bool drain_acknowledged = false;
bool drain_ended = false;       /* the drain period after the acknowledgement has ended */
bool drain_recorded = false;    /* the node has recorded the drain */
bool confirmed = false;         /* the node has checked the server's health */

inline receive_report (number, draining)
{
  if
#ifndef NO_SEQUENCE
  :: number <= newest_accepted -> skip
#endif
  :: else ->
#ifdef BELIEVE_SECOND
     confirmed = confirmed || newest_accepted > 0;
#endif
     newest_accepted = number;
     if
     :: drain_recorded && draining -> drain_acknowledged = true
     :: drain_recorded && !draining ->
#ifdef NO_SEQUENCE
        phase = READY
#else
        skip
#endif
     :: !drain_recorded && draining -> drain_recorded = true; drain_acknowledged = true;
        if
        :: phase == READY -> phase = DRAINING
        :: else -> skip
        fi
     :: !drain_recorded && !draining ->
        if
#ifdef BELIEVE_FIRST
        :: true -> confirmed = true; phase = READY
#else
        :: confirmed || !server_draining -> confirmed = true; phase = READY
        :: else -> skip
#endif
        fi
     fi
  fi
}

active proctype server ()
{
  atomic { newest_sent = 1; receive_report (1, false) };
  atomic { newest_sent = 2; receive_report (2, false) };
  server_draining = true;
  /* The report of the drain is repeated until it is acknowledged. Each repeat has a higher
   * sequence number; the model reuses 3, so newest_accepted has to forget it. */
  do
  :: atomic {
       !drain_acknowledged -> newest_sent = 3;
       newest_accepted = (newest_accepted > 2 -> 2 : newest_accepted);
       receive_report (3, true)
     }
  :: drain_acknowledged -> break
  od
}

/* The network delivers copies of reports later. */
active proctype network ()
{
  byte copies = 0;

  do
  :: copies < 2 ->
     atomic {
       if
       :: newest_sent >= 1 -> receive_report (1, false)
       :: newest_sent >= 2 -> receive_report (2, false)
       :: newest_sent >= 3 -> receive_report (3, true)
       :: else -> skip
       fi;
       copies++
     }
  :: break
  od
}

/* The node's timer ends the drain before the drain period ends. A node that restarted during
 * the drain has no such timer. */
active proctype drain_timer ()
{
  drain_acknowledged;
  atomic {
    if
    :: phase == DRAINING -> phase = ABSENT
    :: else -> skip
    fi;
    drain_ended = true
  }
}

/* After a restart, the node checks the server's health once. */
active proctype node_restarts ()
{
  byte restarts = 0;

  do
  :: restarts < 2 ->
     atomic {
       phase = ABSENT; newest_accepted = 0; drain_recorded = false; confirmed = false;
       restarts++
     };
     atomic {
       if
#ifdef PROBE_TAKES_ANY
       :: newest_sent > 0 && phase == ABSENT && newest_accepted == 0 ->
          confirmed = true; phase = READY
#else
       :: newest_sent > 0 && !server_draining && phase == ABSENT && newest_accepted == 0 ->
          confirmed = true; phase = READY
#endif
       :: skip
       fi
     }
  :: break
  od
}

active proctype requests ()
{
  byte starts = 0;

  do
  :: starts < 3 -> atomic {
       if
       :: phase != ABSENT -> assert (!drain_ended)
       :: else -> skip
       fi;
       starts++
     }
  :: break
  od
}
