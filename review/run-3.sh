# Runs the class CASE of the third review, with its record in FOLDER: . run-3.sh CASE FOLDER
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
java=target/deploy/jre/bin/java
if [ ! -x "$java" ] || [ ! -f "target/review-3/$1.class" ]; then
    echo "build first: bin/build-deploy, review/build-3.sh" >&2
    exit 2
fi
exec "$java" -Drepository=. -cp target/review-3 "$1" "$2"
