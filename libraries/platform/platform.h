#pragma once

// The public header of the platform library: the platform's table and its list
// of hosts and backend servers.
#include "platform/inventory_client.h"  // IWYU pragma: export
#include "platform/table_client.h"      // IWYU pragma: export
