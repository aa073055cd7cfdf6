// Entry point of the azuregw binary.

#include "azuregw/cli/commands.h"

int main(int argc, char** argv) { return azuregw::RunCommandLine(argc, argv); }
