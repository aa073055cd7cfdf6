// Tables for people.

#ifndef SRC_CLI_TABLE_H_
#define SRC_CLI_TABLE_H_

#include <string>
#include <vector>

namespace azuregw {

// Aligns columns to the left, two spaces apart; `rows` may be shorter than `header`.
std::string FormatTable(const std::vector<std::string>& header,
                        const std::vector<std::vector<std::string>>& rows);

}  // namespace azuregw

#endif  // SRC_CLI_TABLE_H_
