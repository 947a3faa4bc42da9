/**
 * What daemons say to each other, apart from how it is encoded.
 */
@NullMarked
package io.anvilpick.messages;

import org.jspecify.annotations.NullMarked;
