// Formats tables with aligned columns.

#include "cli/table.h"

#include <algorithm>

namespace azuregw {
namespace {

// Appends one line to `text`, without trailing spaces.
void AppendRow(const std::vector<std::string>& row, const std::vector<size_t>& widths,
               std::string* text) {
  std::string line;
  for (size_t i = 0; i < row.size() && i < widths.size(); ++i) {
    line += row[i];
    line.append(widths[i] - row[i].size() + 2, ' ');
  }
  line.erase(line.find_last_not_of(' ') + 1);
  *text += line + "\n";
}

}  // namespace

std::string FormatTable(const std::vector<std::string>& header,
                        const std::vector<std::vector<std::string>>& rows) {
  std::vector<size_t> widths;
  for (const std::string& title : header) {
    widths.push_back(title.size());
  }
  for (const std::vector<std::string>& row : rows) {
    for (size_t i = 0; i < row.size() && i < widths.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  AppendRow(header, widths, &text);
  for (const std::vector<std::string>& row : rows) {
    AppendRow(row, widths, &text);
  }
  return text;
}

}  // namespace azuregw
