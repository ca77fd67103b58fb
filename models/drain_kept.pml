/*
 * The drain of a server that leaves, as src/mesh/server_state.c keeps it.
 *
 * A server reports that it is ready, then that it drains; it sends the next report when the
 * one before has ended. A report may be delivered once more, later, also to a node that
 * started after it. Its health check says no as soon as it drains. The node acknowledges the
 * drain, and may end and start again at any time, which empties its memory.
 *
 * One report says ready. A second late one with another number would be believed, which is
 * how a server is taken back whose health check is wrong.
 *
 * Checked: once a drain was acknowledged and is over, no request is started at the server.
 *
 * -DNO_SEQUENCE: the node believes reports whatever their number.
 * -DPROBE_TAKES_ANY: after a start the node takes the health check for well whatever it says.
 * -DBELIEVE_FIRST: the node believes the first report after its start without asking.
 */
#define READY 1
#define DRAINING 2
#define ABSENT 0

byte phase = ABSENT;    /* at the gate */
byte known = 0;         /* number of the newest report that the gate took */
byte sent = 0;          /* number of the newest report */
bool drains = false;    /* the server has begun to leave */
bool acked = false;
bool over = false;      /* the time after the acknowledgement is over */
bool drain_set = false; /* the gate's own mark of the drain */
bool confirmed = false; /* the gate asked the server, or heard two reports */

inline take_report (number, draining)
{
  if
#ifndef NO_SEQUENCE
  :: number <= known -> skip
#endif
  :: else ->
     known = number;
     if
     :: drain_set && draining -> acked = true
     :: drain_set && !draining ->
#ifdef NO_SEQUENCE
        phase = READY
#else
        skip
#endif
     :: !drain_set && draining -> drain_set = true; acked = true;
        if
        :: phase == READY -> phase = DRAINING
        :: else -> skip
        fi
     :: !drain_set && !draining ->
        if
#ifdef BELIEVE_FIRST
        :: true -> confirmed = true; phase = READY
#else
        :: confirmed || !drains -> confirmed = true; phase = READY
        :: else -> skip
#endif
        fi
     fi
  fi
}

active proctype server ()
{
  atomic { sent = 1; take_report (1, false) };
  drains = true;
  /* Sent again until it is acknowledged. */
  do
  :: atomic { !acked -> sent = 2; known = (known > 1 -> 1 : known); take_report (2, true) }
  :: acked -> break
  od
}

/* A copy of a report comes again. */
active proctype way ()
{
  byte copies = 0;

  do
  :: copies < 2 ->
     atomic {
       if
       :: sent >= 1 -> take_report (1, false)
       :: sent >= 2 -> take_report (2, true)
       :: else -> skip
       fi;
       copies++
     }
  :: break
  od
}

/* The gate's timer ends the drain before its time is over; a node that started later has
 * no such timer. */
active proctype clock ()
{
  acked;
  atomic {
    if
    :: phase == DRAINING -> phase = ABSENT
    :: else -> skip
    fi;
    over = true
  }
}

/* A new life asks the server once how it is. */
active proctype node_restarts ()
{
  byte restarts = 0;

  do
  :: restarts < 2 ->
     atomic { phase = ABSENT; known = 0; drain_set = false; confirmed = false; restarts++ };
     atomic {
       if
#ifdef PROBE_TAKES_ANY
       :: sent > 0 && phase == ABSENT && known == 0 -> confirmed = true; phase = READY
#else
       :: sent > 0 && !drains && phase == ABSENT && known == 0 -> confirmed = true; phase = READY
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
       :: phase != ABSENT -> assert (!over)
       :: else -> skip
       fi;
       starts++
     }
  :: break
  od
}
