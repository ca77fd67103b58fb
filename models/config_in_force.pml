/*
 * Model of how a node chooses the configuration in force, as in src/mesh/config_state.c.
 *
 * The store writes versions 1 to VERSIONS. Copies of a version reach a node at any later
 * time, more than once and in any order, from the store or from another node. A node may
 * restart, which clears its memory.
 *
 * Checked: the version in force never decreases while the process of a node runs.
 *
 * Faulty variants, in each of which this is violated:
 * -DTAKE_ANY: a node applies each document that it receives.
 * -DTAKE_FIRST_READ: a node applies each document that it reads from the store, also an
 *   older one, as if it had just started.
 */
#define VERSIONS 3
#define NODES 2

byte written = 0;          /* the newest version in the store */
byte in_force[NODES];      /* 0: none */
byte highest[NODES];       /* version in force since the process started */

inline receive (node, version, from_store)
{
  if
#ifdef TAKE_ANY
  :: true -> in_force[node] = version
#endif
#ifdef TAKE_FIRST_READ
  :: from_store -> in_force[node] = version
#endif
  :: version > in_force[node] -> in_force[node] = version
  :: else -> skip
  fi;
  assert (in_force[node] >= highest[node]);
  highest[node] = in_force[node]
}

active proctype store ()
{
  do
  :: written < VERSIONS -> written++
  :: written == VERSIONS -> break
  od
}

/* Delivers any version that was written to either node. */
active proctype network ()
{
  byte node;
  byte version;
  byte deliveries = 0;

  do
  :: deliveries < 5 && written > 0 ->
     atomic {
       select (node : 0 .. NODES - 1);
       select (version : 1 .. VERSIONS);
       if
       :: version <= written -> receive (node, version, true)
       :: version <= written -> receive (node, version, false)
       :: else -> skip
       fi;
       deliveries++
     }
  :: break
  od
}

/* Node 0 restarts. */
active proctype node_restarts ()
{
  atomic { in_force[0] = 0; highest[0] = 0 }
}
