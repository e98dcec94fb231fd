#include "src/control/TextFile.h"

#include <fstream>
#include <iterator>

namespace crocuslever {

Result<std::string> readTextFile(const std::string& path)
{
    const Error error { ErrorCode::NotFound, "file.read", path, "can't be read" };
    std::ifstream file(path, std::ios::binary);
    if (!file.is_open())
        return error;
    // A directory can be opened, but reading it throws.
    try {
        return std::string { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    } catch (const std::ios_base::failure&) {
        return error;
    }
}

} // namespace crocuslever
