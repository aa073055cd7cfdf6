// Formats tables for operators.

#ifndef SRC_CLI_TABLE_H_
#define SRC_CLI_TABLE_H_

#include <string>
#include <vector>

namespace azuregw {

// Returns a table with left-aligned columns two spaces apart. A row may have fewer cells than
// `header`; further cells are ignored.
std::string FormatTable(const std::vector<std::string>& header,
                        const std::vector<std::vector<std::string>>& rows);

}  // namespace azuregw

#endif  // SRC_CLI_TABLE_H_
