#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lovagecleat::command_line {

// A text table with one row per line; columns are as wide as their widest cell.
class Table {
 public:
  explicit Table(std::vector<std::string> columns);

  // Missing trailing cells are empty.
  void AddRow(std::vector<std::string> cells);

  std::string Text() const;

 private:
  std::vector<std::vector<std::string>> rows_;  // the first is the header
};

// Formats a JSON object for reading: simple members one per line, then each
// list of objects as a table. Returns text that is not a JSON object unchanged,
// with a line end.
std::string RenderDocument(std::string_view json);

}  // namespace lovagecleat::command_line
