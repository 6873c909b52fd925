#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace lovagecleat::command_line {

// Columns as wide as their widest cell, one row a line.
class Table {
 public:
  explicit Table(std::vector<std::string> columns);

  // Missing cells at the end are empty.
  void AddRow(std::vector<std::string> cells);

  std::string Text() const;

 private:
  std::vector<std::vector<std::string>> rows_;  // the first holds the titles
};

// A JSON object for people: plain members line by line, then each list of
// objects as a table. Text that is no JSON object comes back as it is.
std::string RenderDocument(std::string_view json);

}  // namespace lovagecleat::command_line
