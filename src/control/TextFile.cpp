#include "src/control/TextFile.h"

#include <fstream>
#include <sstream>

namespace crocuslever {

Result<std::string> readTextFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (file)
        text << file.rdbuf();
    // An empty file makes the insertion fail, which is no fault.
    if (!file.is_open() || file.bad() || (text.fail() && file.peek() != std::ifstream::traits_type::eof()))
        return Error { ErrorCode::NotFound, "file.read", path, "can't be read" };
    return text.str();
}

} // namespace crocuslever
