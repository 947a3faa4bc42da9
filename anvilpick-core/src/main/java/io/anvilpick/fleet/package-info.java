/** What a daemon believes of configuration, registered targets and other daemons, and what it passes on of them. */
@NullMarked
package io.anvilpick.fleet;

import org.jspecify.annotations.NullMarked;
