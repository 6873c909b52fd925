#pragma once

// The public header of the platform library: clients for the platform's table
// and for its list of hosts and backend servers.
#include "platform/inventory_client.h"  // IWYU pragma: export
#include "platform/table_client.h"      // IWYU pragma: export
