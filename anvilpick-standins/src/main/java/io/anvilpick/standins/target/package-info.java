/** A backend server with slots, a queue and misbehaviours, in the place of the users' servers. */
@NullMarked
package io.anvilpick.standins.target;

import org.jspecify.annotations.NullMarked;
