/*
 * The configuration in force, as src/mesh/config_state.c decides it.
 *
 * The store writes versions 1 to VERSIONS. Each copy of a version reaches a node at any
 * later time, more than once and in any order, from the store or from another node. A
 * node may start again, which empties its memory.
 *
 * Checked: a node never goes back within one run of its process.
 *
 * -DTAKE_ANY: a node takes each document that comes.
 * -DTAKE_FIRST_READ: a read of the store is taken whatever it holds, as after a start.
 */
#define VERSIONS 3
#define NODES 2

byte written = 0;          /* the newest version in the store */
byte in_force[NODES];      /* 0: none */
byte highest[NODES];       /* that was in force since the process began */

inline take (node, version, from_store)
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

/* Any version that was written may still be on its way, to either node. */
active proctype documents ()
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
       :: version <= written -> take (node, version, true)
       :: version <= written -> take (node, version, false)
       :: else -> skip
       fi;
       deliveries++
     }
  :: break
  od
}

active proctype restarts ()
{
  atomic { in_force[0] = 0; highest[0] = 0 }
}
