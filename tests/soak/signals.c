#include "soak.h"

#include <signal.h>

void
soak_signal (const process_t *process, int signal_number)
{
  if (process->pid > 0)
    kill (process->pid, signal_number);
}
