// Builds the precompiled header of Catch2 that all test binaries reuse.
#include <catch2/catch.hpp>
